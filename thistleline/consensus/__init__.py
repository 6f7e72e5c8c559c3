"""The council: a few voters that keep one log of decisions, whatever of them is killed, paused or cut off."""
