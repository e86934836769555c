"""Overload control layer for service call graphs.

Programs that embed parts of the layer import its subpackages. Importing this
package must not import ``daemon``, ``cli`` or ``asyncio``, nor start a thread.
"""
