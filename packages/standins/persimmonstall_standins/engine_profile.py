"""Cost model of an engine as the users run it: 70 billion parameters on two accelerators."""

from persimmonstall.direct.messages import EngineProfile

ENGINE_PROFILE = EngineProfile(
    slots=8,
    memory=232_000,
    step=0.00102,
    per_sequence=4.5e-6,
    per_context=4.31e-9,
    token_read=1 / 206_000,
    pair_read=1.38e-10,
    chunk=2048,
    stride=43,
)
