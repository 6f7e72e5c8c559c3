"""Explorable worlds and simulated fleets in virtual time, with the state machines that run in production."""
