"""Fleet membership by gossip (SWIM with Lifeguard): who is a member, is it alive, what does it run."""
