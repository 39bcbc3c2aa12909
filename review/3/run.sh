#!/bin/sh
MAIN=Left
. "$(dirname "$0")/../case.sh"
