"""Stand-ins for the platform, the endpoints and the callers."""
