"""Durable storage: a folder of append-only segment files made of checksummed frames."""
