"""Staged rollouts: each stage is compared with a control group, and paused or rolled back if it is worse."""
