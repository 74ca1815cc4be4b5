"""A router whose entry node dispatches each request itself."""
