"""Background load of multi-turn chats and calls, and checks of its results."""

import asyncio
from typing import Any

import harness

from nutmegpost_standins import batching
from nutmegpost_standins import caller

__all__ = ["ChatLoad", "check_answers"]

_PAUSE_S = 0.02


class ChatLoad:
    """Chats and calls of several accounts, sent while the context is active.

    Each chat starts over after 8 turns. On exit, the requests in progress are
    awaited.

    Attributes:
        results: Results of the chat requests that have completed.
        calls: Results of the service calls that have completed.
    """

    def __init__(
        self,
        deployment: harness.Deployment,
        accounts: list[str],
        *,
        chats: int = 4,
        tokens: int = 40,
        sends_calls: bool = True,
        turns_max: int = 200,
        **options: Any,
    ):
        """Creates the load.

        Args:
            deployment: Deployment to send the requests to.
            accounts: Client accounts, one caller each.
            chats: Concurrent chats of each account.
            tokens: Length of each answer.
            sends_calls: Whether each account also calls the non-repeatable
                operation.
            turns_max: Maximum number of turns of each chat and of calls of
                each account.
            **options: Further options of the callers.
        """
        self.results: list[caller.ChatResult] = []
        self.calls: list[caller.CallResult] = []
        self._deployment = deployment
        self._accounts = accounts
        self._chats = chats
        self._tokens = tokens
        self._sends_calls = sends_calls
        self._turns_max = turns_max
        self._options = options
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "ChatLoad":
        for number, account in enumerate(self._accounts):
            client = self._deployment.caller(account, number, **self._options)
            for chat in range(self._chats):
                name = f"{account}-{chat}"
                work = self._run_chats(client, name)
                self._tasks.append(asyncio.create_task(work))
            if self._sends_calls:
                work = self._run_calls(client, account)
                self._tasks.append(asyncio.create_task(work))
        return self

    async def __aexit__(self, *_: Any) -> None:
        self._is_stopping = True
        async with asyncio.timeout(90.0):
            await asyncio.gather(*self._tasks)

    async def wait_for_answers(self, count: int) -> None:
        """Waits until further chat requests have completed.

        Also returns when all chats have reached their last turn.

        Args:
            count: Number of chat requests from now on.
        """
        wanted = len(self.results) + count
        await harness.wait_until(
            lambda: len(self.results) >= wanted or self._is_finished(),
            f"{count} further answers",
        )

    def _is_finished(self) -> bool:
        return all(task.done() for task in self._tasks)

    async def _run_chats(self, client: caller.Caller, name: str) -> None:
        messages: list[dict[str, str]] = []
        for turn in range(self._turns_max):
            if self._is_stopping:
                return
            if turn % 8 == 0:
                messages = []
            text = " ".join(f"{name}-{turn}-{word}" for word in range(40))
            messages.append({"role": "user", "content": text})
            result = await client.chat(
                self._deployment.model,
                messages,
                chat_id=f"{name}-{turn // 8}",
                tokens=self._tokens,
            )
            self.results.append(result)
            answer = batching.messages_digest(messages)
            messages.append({"role": "assistant", "content": answer})
            await asyncio.sleep(_PAUSE_S)

    async def _run_calls(self, client: caller.Caller, name: str) -> None:
        deployment = self._deployment
        for number in range(self._turns_max):
            if self._is_stopping:
                return
            body = {"call": f"{name}-{number}"}
            result = await client.call(
                deployment.service, deployment.operation, body
            )
            self.calls.append(result)
            await asyncio.sleep(_PAUSE_S * 5)


def check_answers(results: list[caller.ChatResult]) -> None:
    """Asserts that every chat request got its complete, correct answer."""
    assert results
    failed = [
        result
        for result in results
        if result.outcome != "answered" or result.mismatch
    ]
    assert not failed, "\n".join(str(result) for result in failed)
