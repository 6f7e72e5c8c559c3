"""The lab: test doubles, load generators, injected faults, and oracles independent of the code they judge."""
