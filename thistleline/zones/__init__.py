"""Where the fleet's traffic goes, decided once for all: the picture of zones, the table of shares."""
