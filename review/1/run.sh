#!/bin/sh
MAIN=SecondCopy
. "$(dirname "$0")/../case.sh"
