"""Message types, codec and connections between an entry and an agent."""
