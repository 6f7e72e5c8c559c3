"""The bench wire: parses, calls the module, writes."""
