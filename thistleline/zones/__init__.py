"""Routing of traffic between zones: the status of each zone, and a table of the traffic that is moved."""
