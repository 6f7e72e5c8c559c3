"""The laboratory: stand-ins, load, faults and oracles that know nothing of the code they judge."""
