"""Stand-ins for two services of the users' platform.

They are the table store and the call that promotes a member.
"""
