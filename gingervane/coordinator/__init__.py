"""The co-ordinator: drives the decision engine and executes its actions."""
