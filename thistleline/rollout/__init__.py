"""Staged rollouts: changed in stages, compared with a control group, and paused or rolled back if worse."""
