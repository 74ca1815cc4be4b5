"""Index of a configuration by key, account, class, model and service."""

from nutmegpost_core import configuration
from nutmegpost_core import errors

__all__ = ["Directory"]


class Directory:
    """Looks up entries of a configuration by key or name."""

    def __init__(self, published: configuration.Published):
        """Builds the index.

        Args:
            published: The configuration.
        """
        document = published.document
        self._published = published
        self._accounts = {
            digest: account
            for account in document["accounts"]
            for digest in account["key_digests"]
        }
        self._account_names = {
            account["name"]: account for account in document["accounts"]
        }
        self._classes = {entry["name"]: entry for entry in document["classes"]}
        self._models = {model["name"]: model for model in document["models"]}
        self._services = {
            service["name"]: service for service in document["services"]
        }

    @property
    def published(self) -> configuration.Published:
        """The indexed configuration."""
        return self._published

    @property
    def models(self) -> dict[str, configuration.Model]:
        """The models by name."""
        return self._models

    @property
    def services(self) -> dict[str, configuration.Service]:
        """The plain services by name."""
        return self._services

    @property
    def classes(self) -> dict[str, configuration.WorkClass]:
        """The work classes by name."""
        return self._classes

    def authenticate(self, authorization: str) -> configuration.Account:
        """Returns the account of a key.

        Args:
            authorization: Value of the Authorization header.

        Raises:
            errors.AccountError: The key is missing or unknown.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise errors.AccountError("a bearer key is needed")
        account = self._accounts.get(configuration.key_digest(key.strip()))
        if account is None:
            raise errors.AccountError("the key is unknown")
        return account

    def account(self, name: str) -> configuration.Account:
        """Returns an account by name.

        Raises:
            errors.AccountError: No account has that name.
        """
        account = self._account_names.get(name)
        if account is None:
            raise errors.AccountError(f"unknown account {name!r}")
        return account

    def work_class(
        self, account: configuration.Account, name: str
    ) -> configuration.WorkClass:
        """Returns a work class that an account may use.

        Args:
            account: The account.
            name: Name of the class; empty for the account's first class.

        Raises:
            errors.UnknownNameError: The account may not use such a class.
        """
        name = name or account["classes"][0]
        if name not in account["classes"]:
            raise errors.UnknownNameError(
                f"account {account['name']!r} has no class {name!r}"
            )
        return self._classes[name]

    def model(self, name: str) -> configuration.Model:
        """Returns a model by name.

        Raises:
            errors.UnknownNameError: No model has that name.
        """
        model = self._models.get(name)
        if model is None:
            raise errors.UnknownNameError(f"unknown model {name!r}")
        return model

    def operation(
        self, service_name: str, name: str
    ) -> configuration.Operation:
        """Returns an operation of a plain service.

        Raises:
            errors.UnknownNameError: The service or the operation does not
                exist.
        """
        service = self._services.get(service_name)
        if service is None:
            raise errors.UnknownNameError(f"unknown service {service_name!r}")
        for operation in service["operations"]:
            if operation["name"] == name:
                return operation
        raise errors.UnknownNameError(
            f"service {service_name!r} has no operation {name!r}"
        )
