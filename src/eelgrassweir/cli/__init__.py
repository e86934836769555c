"""Command line of supervisors and operators, ``eelgrassweir``.

``commands`` holds the commands, ``main`` the entry point; the other modules
call the admin listener, read and write files and format the output. Must
not import from ``daemon`` or ``mesh``; the daemon is reached over HTTP only.
"""
