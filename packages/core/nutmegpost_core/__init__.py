"""Decisions, messages and document formats, free of clocks and sockets."""
