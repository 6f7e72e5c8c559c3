"""Rolling changes: brought to the fleet in stages, judged against a control group, paused and rolled back."""
