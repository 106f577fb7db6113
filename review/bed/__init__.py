"""Shared parts of the review's scripts: processes, stand-ins, client, record."""
