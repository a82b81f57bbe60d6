"""Types of the identifiers that messages refer to.

Names are ``str`` at run time, the fencing number is an ``int``; the distinct
types let a type checker and a reader distinguish an upstream's name from a
caller's.

Examples
--------
>>> from currantdeal.core import UpstreamId
>>> UpstreamId("prefill-1")
'prefill-1'
"""

from typing import NewType

InstanceId = NewType("InstanceId", str)
UpstreamId = NewType("UpstreamId", str)
CallerId = NewType("CallerId", str)
RequestId = NewType("RequestId", str)
RegionId = NewType("RegionId", str)
DataCenterId = NewType("DataCenterId", str)
GrantId = NewType("GrantId", str)
FencingNumber = NewType("FencingNumber", int)
