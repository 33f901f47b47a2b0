#include "bamboostream/src/Core/identities.h"

void run(const bamboostream::workspace_id& workspace);

void call() {
    run(bamboostream::pool_id("drafting"));
}
