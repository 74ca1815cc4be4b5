"""The operators' command."""
