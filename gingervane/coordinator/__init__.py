"""The co-ordinator: drives the decision module and executes its actions."""
