"""A server that takes over from the one running on its machine and later hands over to its successor."""
