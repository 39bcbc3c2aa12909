#!/bin/sh
MAIN=Pieces
. "$(dirname "$0")/../case.sh"
