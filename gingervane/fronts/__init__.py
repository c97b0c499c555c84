"""Protocol fronts: parse a client's request into a plan of parts, and encode the final answer."""
