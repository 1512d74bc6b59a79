package org.brasspier.core.document;

import java.util.Map;

import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The settings of services that request processing reads from the document.
 */
class ServiceCatalogTests {

	private static final ServiceName HULLBOOK = new ServiceName("hullbook");

	@Test
	void withoutADocumentEveryServiceIsServedWithTheDefaultLimits() {
		ServicePolicy policy = ServiceCatalog.OPEN.find(HULLBOOK).orElseThrow();
		assertThat(policy.sharding()).isEqualTo(ServicePolicy.Sharding.BY_KEY_IF_GIVEN);
		assertThat(policy.limit(RequestClass.LOOKUP).deadlineMillis()).isEqualTo(1000);
	}

	@Test
	void withADocumentInForceOnlyItsServicesAreServed() {
		ServiceCatalog catalog = Document
			.of(Map.of(new FieldPath("service/hullbook/divided-by-key"), "no",
					new FieldPath("limits/hullbook/caller-shares"), "duluth-office=40"))
			.catalog();
		ServicePolicy policy = catalog.find(HULLBOOK).orElseThrow();
		assertThat(policy.sharding()).isEqualTo(ServicePolicy.Sharding.BY_REQUEST_ID);
		assertThat(policy.callerShares()).containsExactly(new CallerId("duluth-office"), 40);
		assertThat(catalog.find(new ServiceName("divecal"))).isEmpty();
	}

	@Test
	void aProcessThatDoesNotKnowTheDocumentYetServesNoService() {
		assertThat(ServiceCatalog.UNKNOWN.policy(HULLBOOK).getLeft().kind()).isEqualTo(ErrorKind.NO_OWNER);
	}

}
