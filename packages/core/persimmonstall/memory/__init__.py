"""Engine memory: who holds it, until when, and what happens when it runs short."""
