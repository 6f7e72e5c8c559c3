"""Common events, effects and copying of the program's state machines."""
