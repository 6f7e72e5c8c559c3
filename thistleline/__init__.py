"""Overload control inside each server of a fleet."""
