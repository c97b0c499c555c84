from hypothesis import settings

# The same verdict every time: fixed examples, no clock.
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60, database=None)
settings.load_profile("fixed")
