"""Durable storage: a folder of append-only segment files that consist of checksummed frames."""
