"""The router process: tasks that own sockets around the pure decisions."""
