"""The same random steps in every run: a verdict must not depend on the day."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
