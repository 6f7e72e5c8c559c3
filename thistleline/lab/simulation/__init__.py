"""Virtual time: worlds to explore and fleets to simulate, by the reducers that run."""
