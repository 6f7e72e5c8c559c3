"""Fleet membership by gossip (SWIM with Lifeguard): the members, their liveness and what each one runs."""
