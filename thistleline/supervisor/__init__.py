"""Supervisor: keeps a machine's server at the desired version; finds the running server after a restart."""
