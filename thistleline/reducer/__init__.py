"""What the state machines of the fleet parts share: common events and effects, copies for exploration."""
