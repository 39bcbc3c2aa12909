#!/bin/sh
MAIN=SlowGivers
. "$(dirname "$0")/../case.sh"
