#!/bin/sh
MAIN=SlowReaders
. "$(dirname "$0")/../case.sh"
