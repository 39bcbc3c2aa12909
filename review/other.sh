#!/bin/sh
# Shows a fault that is no case: other.sh SurplusBehind, Pieces, EarlyHints, SecondCopy, SlowReaders, SlowGivers, OutAgain, NoLength, SlowUploads or ClientLeft. Exits as a case does; its record goes to build/.
MAIN=$1
RECORD=$(cd "$(dirname "$0")" && pwd)/build/$MAIN.txt
. "$(dirname "$0")/case.sh"
