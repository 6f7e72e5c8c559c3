"""The adapter of the bench's simulator: hosts the policies of many simulated servers in one process."""
