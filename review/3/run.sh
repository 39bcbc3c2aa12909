#!/bin/sh
MAIN=Stall
. "$(dirname "$0")/../case.sh"
