"""The co-ordinator's daemon: assembly from settings, start and stop, observers for logs and metrics, status pages."""
