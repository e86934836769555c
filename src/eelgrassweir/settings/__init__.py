"""Settings of the two daemons.

``loader`` reads and checks a settings file; ``generated`` and
``mesh_generated`` hold the classes that ``scripts/generate`` makes from
``schema/``. Must not import from any other package of the project.
"""
