"""Adapter for the bench simulator: hosts the policies of many simulated servers in one process."""
