#!/usr/bin/env bash
# Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: all servers are sound.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
fault_name=long-trailer
. "$case_folder/../plain_service.sh"
