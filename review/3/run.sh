#!/bin/sh
MAIN=Held
. "$(dirname "$0")/../case.sh"
