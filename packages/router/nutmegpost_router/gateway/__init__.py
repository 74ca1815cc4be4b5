"""A router whose entry dispatches each request itself."""
