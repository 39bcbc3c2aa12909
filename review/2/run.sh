#!/bin/sh
MAIN=HeldHeads
. "$(dirname "$0")/../case.sh"
