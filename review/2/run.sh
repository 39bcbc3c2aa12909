#!/bin/sh
MAIN=BigList
. "$(dirname "$0")/../case.sh"
