/**
 * Communication with the backend server of this daemon: announcements, requests, grants.
 */
@NullMarked
package org.brasspier.daemon.internal.backend;

import org.jspecify.annotations.NullMarked;
