"""The core: connections with their attempts, deadlines and answers.

It is independent of any wire protocol: listeners and backend connections plug in through `ports.py`.
"""
