#include "bamboostream/src/Streams/resume_handle.h"

bamboostream::issued_handle forged(bamboostream::resume_handle{}, "text");
