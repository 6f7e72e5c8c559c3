"""A change that goes through the fleet in stages: decided, judged, stopped and taken back."""
